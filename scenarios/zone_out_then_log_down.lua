-- The control log goes down right after a zone was taken out. The zone stays
-- out.
deployment{run_time = 100}
boot()
run(3000)
local number = zone_out("zone-a")
run(30)
log_down(true)
run(3000)
expect(change(number).accepted and change(number).certain, "the zone is certainly out")
local before = starts_in("zone-a")
local jobs = {}
for n = 1, 20 do jobs[n] = submit{} end
run(3000)
expect(starts_in("zone-a") == before, "no task starts there")
for n = 1, 20 do
  expect(answer(jobs[n]) and answer(jobs[n]).outcome == "complete", "the job completes in another zone")
end
log_down(false)
recover()
