-- After a takeover a second body arrives under the id of a running job. The
-- successor must reject it: it learns the digest of the first body from the
-- sidecars.
deployment{run_time = 1500}
boot()
run(3000)
local job = submit{tasks = 2, entry = "entry-2", id = id_owned_by("entry-1")}
run(100)
kill("entry-1")
run(2500)
clash(job, "entry-3")
run(3000)
expect(answer(job) and answer(job).outcome == "complete", "the first body is complete")
expect(starts(job, 0) == 1 and starts(job, 1) == 1, "each task starts once")
