// P1: guards against samples with wrong weight versions when weights change in the middle of a text, loads fail,
// engines crash, or an engine does not report its version.
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
expect(steps("blurb") >= 7, "the trainer continues despite failed loads, a crash and an engine that reports no version");
