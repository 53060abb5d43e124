// P2, P3: guards against stale or duplicate samples from a stream owner that is paused with samples in its buffer and
// resumes after another host has taken over the stream.
fleet("small", 22);
ready();
train("blurb");
advance(60000);
let old = owner("blurb");
freeze(old);
advance(60000);
expect(steps("blurb") >= 4, "another host delivers batches to the trainer");
thaw(old);
advance(60000);
expect(steps("blurb") >= 6, "the trainer continues after the former owner has resumed");
