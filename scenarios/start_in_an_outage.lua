-- An entry that starts in a log outage takes the state from its peers.
deployment{run_time = 100}
boot()
run(3000)
log_down(true)
run(1000)
restart("entry-1")
run(4000)
expect(status("entry-1").bundle == 1, "it has the bundle")
local job = submit{entry = "entry-1"}
run(2000)
expect(answer(job) and answer(job).outcome == "complete", "it takes jobs")
log_down(false)
recover()
