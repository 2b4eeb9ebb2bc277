-- Two operators publish on the same base: one wins, the other is told who did.
deployment{}
boot()
run(1000)
local a = publish{version = 2, entry = "entry-1"}
local b = publish{version = 2, entry = "entry-2"}
run(3000)
expect(change(a).accepted ~= change(b).accepted, "exactly one wins")
local loser = change(a).accepted and change(b) or change(a)
expect(loser.text ~= "", "the loser is told why")
-- A version older than the accepted one never takes effect.
local old = publish{version = 2, based_on = 1}
run(2000)
expect(not change(old).accepted, "an older version is refused")
expect(status("entry-3").bundle == 2, "the bundle does not go back")
recover()
