// P1: samples name the versions that produced them, through swaps in mid-stream, failed loads and engine crashes.
fleet("small", 11);
ready();
train("blurb");
advance(90000);
expect(steps("blurb") >= 3, "the trainer takes three steps in 90 s");
fail_loads("e1", 2);
crash("e2", 4000);
advance(60000);
mute_versions("e3");
advance(60000);
expect(steps("blurb") >= 7, "the trainer goes on past failed loads, a crash and an engine that names no version");
