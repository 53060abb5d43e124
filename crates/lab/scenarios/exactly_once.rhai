// P3: the answer to a pull is lost, and the owner dies with a batch offered.
fleet("small", 31);
ready();
let first = pull("blurb", "h1");
advance(15000);
expect(answer(first).state == "done", "the first batch comes");
// The pull's host dies when the batch may be on its way; the trainer repeats its cursor elsewhere.
train("blurb");
advance(5);
kill(owner("blurb"));
advance(30000);
expect(steps("blurb") >= 2, "the trainer is fed by the next owner");
start("h1");
start("h3");
advance(40000);
kill("h3");
advance(40000);
start("h3");
advance(40000);
expect(steps("blurb") >= 6, "the trainer is fed past the loss of one owner after the other");
