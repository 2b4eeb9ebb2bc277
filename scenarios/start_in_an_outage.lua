-- An entry that starts while the control log is down gets the state from its
-- peers.
deployment{run_time = 100}
boot()
run(3000)
log_down(true)
run(1000)
restart("entry-1")
run(4000)
expect(status("entry-1").bundle == 1, "the entry has the bundle")
local job = submit{entry = "entry-1"}
run(2000)
expect(answer(job) and answer(job).outcome == "complete", "the entry serves jobs")
log_down(false)
recover()
