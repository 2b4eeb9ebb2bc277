-- The owner dies before the job reaches it: the successor starts it in time.
deployment{run_time = 100}
boot()
run(3000)
local id = id_owned_by("entry-1")
kill("entry-1")
local job = submit{entry = "entry-2", id = id}
run(3000)
expect(starts(job) == 1, "started once within 3 s of the death")
run(2000)
expect(answer(job) and answer(job).outcome == "complete", "complete")
recover()
