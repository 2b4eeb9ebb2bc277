-- A zone is taken out while tasks are queued, offered and running there. No
-- task starts there after 2 s, and the remaining tasks run elsewhere.
deployment{run_time = 500, slots = 2}
boot()
run(3000)
local jobs = {}
for n = 1, 24 do jobs[n] = submit{} end
run(200)
local number = zone_out("zone-a")
local asked = time()
run(3000)
expect(change(number).accepted, "the change is accepted")
expect(change(number).certain and change(number).certain < 2000, "the zone is certainly out within 2 s")
local _, last = starts_in("zone-a")
expect(last - asked < 2000, "the last start in the zone is within 2 s")
local before = starts_in("zone-a")
run(5000)
expect(starts_in("zone-a") == before, "no more tasks start there")
for n = 1, 24 do
  expect(answer(jobs[n]) and answer(jobs[n]).outcome == "complete", "job " .. n .. " is complete")
end
recover()
