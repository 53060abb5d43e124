// Guards against a trainer that gets no batches during and after an outage in which the key-value store hangs for
// 100 s, under load by callers with generations and bookings.
fleet("small", 121);
ready();
train("blurb");
callers(2.0, 1.0, 200000);
advance(30000);
store("hang");
advance(100000);
let steps_before = steps("blurb");
expect(steps_before >= 6, "the trainer gets batches during the outage");
store("up");
advance(60000);
expect(steps("blurb") >= steps_before + 2, "the trainer gets batches after the outage");
