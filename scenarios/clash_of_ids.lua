-- A second body under the id of a known job is refused, and none of its tasks
-- runs.
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
expect(starts(job, 0) == 1, "tasks of the second body never start")
