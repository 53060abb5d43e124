// P3: guards against lost or duplicate samples when the answer to a pull is lost or the stream's owner is killed with
// a batch in flight.
fleet("small", 31);
ready();
let first = pull("blurb", "h1");
advance(15000);
expect(answer(first).state == "done", "the first batch arrives");
// The owner is killed while the batch may be in flight; the trainer repeats its cursor through another host.
train("blurb");
advance(5);
kill(owner("blurb"));
advance(30000);
expect(steps("blurb") >= 2, "the trainer gets batches from the next owner");
start("h1");
start("h3");
advance(40000);
kill("h3");
advance(40000);
start("h3");
advance(40000);
expect(steps("blurb") >= 6, "the trainer gets batches after two owners were lost in turn");
