-- The owner dies during an outage of the control log. Its designated successor
-- serves before its takeover record is written, and appends the record when the
-- log is back.
deployment{run_time = 400}
boot()
run(3000)
local id = id_owned_by("entry-1")
log_down(true)
run(500)
local job = submit{tasks = 2, entry = "entry-2", id = id}
run(100)
kill("entry-1")
run(6000)
expect(answer(job) and answer(job).outcome == "complete", "the job completes during the outage")
expect(starts(job, 0) == 1 and starts(job, 1) == 1, "each task starts once")
local fresh = submit{entry = "entry-3"}
run(1500)
expect(answer(fresh) and answer(fresh).outcome == "complete", "a new job is complete")
log_down(false)
run(3000)
expect(owner(job) ~= "entry-1", "the log has the takeover")
recover()
