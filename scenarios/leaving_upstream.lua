-- An upstream that leaves gets no new tasks. The tasks that already run there
-- finish.
deployment{run_time = 300}
boot()
run(2000)
local jobs = {}
for n = 1, 10 do jobs[n] = submit{}; run(20) end
leave("sidecar-1", true)
run(500)
local before = starts_in("zone-a")
leave("sidecar-3", true)
run(1000)
for n = 11, 30 do jobs[n] = submit{}; run(20) end
run(3000)
expect(starts_in("zone-a") <= before + 8, "no new tasks in the zone of the leaving upstreams")
for n = 1, 30 do
  expect(answer(jobs[n]) and answer(jobs[n]).outcome == "complete", "no request is broken off")
end
leave("sidecar-1", false)
leave("sidecar-3", false)
recover()
