-- A zone is taken out and brought back within a second. Tasks start there
-- again.
deployment{run_time = 100}
boot()
run(2000)
local a = zone_out("zone-b")
run(300)
local b = zone_in("zone-b")
run(3000)
expect(change(a).accepted and change(b).accepted, "both changes are accepted")
local before = starts_in("zone-b")
local jobs = {}
for n = 1, 30 do jobs[n] = submit{}; run(100) end
run(2000)
expect(starts_in("zone-b") > before, "tasks start there again")
for n = 1, 30 do
  expect(answer(jobs[n]) and answer(jobs[n]).outcome == "complete", "the job is complete")
end
