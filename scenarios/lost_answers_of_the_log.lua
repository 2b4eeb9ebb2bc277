-- The control log writes a change but its answer is lost. The retried change
-- takes effect once.
deployment{}
boot()
run(2000)
lose_answer(4)
local number = publish{version = 2}
run(8000)
expect(change(number).accepted, "the change is accepted")
for _, name in ipairs{"entry-1", "entry-2", "entry-3", "sidecar-1", "sidecar-4"} do
  expect(status(name).bundle == 2, name .. " has the bundle")
end
recover()
