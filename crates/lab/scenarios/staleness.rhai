// P2: guards against stale samples when the trainer's version advances between generation and delivery, or between two
// attempts of one pull.
fleet("small", 21);
ready();
let first = pull("blurb", "h1");
advance(20000);
expect(answer(first).state == "done", "the first batch arrives");
// Samples of version 0 are buffered by now; the trainer advances past its staleness bound of 2.
advance(20000);
trainer_version("blurb", 7);
announce("blurb", "h1", 7);
let second = pull("blurb", "h1");
advance(9000);
trainer_version("blurb", 9);
announce("blurb", "h3", 9);
let third = pull("blurb", "h3");
advance(60000);
let fourth = pull("blurb", "h1");
advance(30000);
expect(samples("blurb") >= 16, "batches arrive again once the engines have loaded the new weights");
