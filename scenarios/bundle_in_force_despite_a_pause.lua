-- Instances that were paused during a rollout apply the new bundle within 3 s
-- of resuming.
deployment{}
boot()
run(2000)
pause("sidecar-2")
pause("entry-3")
local number = publish{version = 2}
run(4000)
expect(change(number).accepted, "the change is accepted")
resume("sidecar-2")
resume("entry-3")
run(3000)
expect(status("sidecar-2").bundle == 2 and status("entry-3").bundle == 2, "both have version 2 in force")
recover()
