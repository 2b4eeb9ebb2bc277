-- Two operators publish bundles based on the same version. One is accepted, and
-- the refusal of the other names the version in force and its author.
deployment{}
boot()
run(1000)
local a = publish{version = 2, entry = "entry-1"}
local b = publish{version = 2, entry = "entry-2"}
run(3000)
expect(change(a).accepted ~= change(b).accepted, "exactly one change is accepted")
local loser = change(a).accepted and change(b) or change(a)
expect(loser.text ~= "", "the refusal has a reason")
-- A change that is not based on the accepted version never takes effect.
local old = publish{version = 2, based_on = 1}
run(2000)
expect(not change(old).accepted, "an older version is refused")
expect(status("entry-3").bundle == 2, "the bundle version does not go back")
recover()
