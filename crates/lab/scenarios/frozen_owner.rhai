// P2, P3: the owner of a stream freezes with samples in hand and wakes up after another host took the stream over.
fleet("small", 22);
ready();
train("blurb");
advance(60000);
let old = owner("blurb");
freeze(old);
advance(60000);
expect(steps("blurb") >= 4, "another host feeds the trainer");
thaw(old);
advance(60000);
expect(steps("blurb") >= 6, "the trainer goes on after the former owner woke up");
