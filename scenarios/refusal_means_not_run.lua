-- A job is refused while all zones are out. None of its tasks may start later.
deployment{run_time = 100}
boot()
run(2000)
zone_out("zone-a")
zone_out("zone-b")
run(3000)
local job = submit{deadline = 2000}
run(5000)
expect(answer(job) and answer(job).outcome ~= "complete", "the job is not complete")
zone_in("zone-a")
zone_in("zone-b")
run(5000)
expect(starts(job) == 0, "the task never starts")
recover()
