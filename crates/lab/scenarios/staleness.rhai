// P2: the trainer advances between generation and delivery, and between two attempts of one pull.
fleet("small", 21);
ready();
let first = pull("blurb", "h1");
advance(20000);
expect(answer(first).state == "done", "the first batch comes");
// Samples of version 0 are ready by now; the trainer jumps past its bound of 2.
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
expect(samples("blurb") >= 16, "batches come again once the engines have the new weights");
