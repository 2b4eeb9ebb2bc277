-- All zones but one are taken out. The remaining zone runs all jobs.
deployment{zones = 4, sidecars = 8, run_time = 100}
boot()
run(2000)
for _, zone in ipairs{"zone-a", "zone-b", "zone-c"} do zone_out(zone) end
run(3000)
local jobs = {}
for n = 1, 20 do jobs[n] = submit{} end
run(4000)
for n = 1, 20 do
  expect(answer(jobs[n]) and answer(jobs[n]).outcome == "complete", "the job is complete")
end
recover()
