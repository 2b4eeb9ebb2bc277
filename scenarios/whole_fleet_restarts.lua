-- All instances restart at once under the same names. They serve again
-- within 5 s.
deployment{run_time = 100}
boot()
run(3000)
for n = 1, 3 do restart("entry-" .. n) end
for n = 1, 4 do restart("sidecar-" .. n) end
run(5000)
local jobs = {}
for n = 1, 6 do jobs[n] = submit{entry = "entry-" .. (1 + n % 3)} end
run(1000)
for n = 1, 6 do
  expect(answer(jobs[n]) and answer(jobs[n]).outcome == "complete", "the job is complete")
end
recover()
