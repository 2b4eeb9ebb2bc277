-- A restarted entry reads a trimmed control log, from the newest checkpoint on.
deployment{run_time = 50}
boot()
run(1000)
for n = 1, 260 do
  zone_out("zone-b")
  run(30)
  zone_in("zone-b")
  run(30)
end
run(3000)
expect(log_trim() > 0, "a checkpoint was written")
restart("entry-2")
run(5000)
expect(status("entry-2").offset == status("entry-1").offset, "the entry has caught up with the log")
recover()
