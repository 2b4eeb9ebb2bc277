-- The same id with another body is refused, and its work never runs.
deployment{run_time = 400}
boot()
run(2000)
local job = submit{tasks = 2}
run(100)
clash(job, "entry-2")
run(2000)
clash(job, "entry-3")
run(1000)
expect(answer(job).outcome == "complete", "the first body is complete")
expect(starts(job, 0) == 1, "the second body never starts")
