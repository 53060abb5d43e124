// P7: guards against work for a leaving target while the host list is not updated yet, and against dropping live
// targets when the list is suddenly short or a target crashes repeatedly.
fleet("small", 71);
ready();
train("blurb");
callers(3.0, 2.0, 150000);
advance(30000);
let steps_before = steps("blurb");
expect(steps_before >= 1, "the trainer gets a batch before a target leaves");
leave("e1");
leave("s1");
advance(15000);
list_leaving("e1");
advance(10000);
unlist("e1");
advance(10000);
// Three live engines vanish from the list.
unlist("e2");
unlist("e3");
unlist("e4");
advance(6000);
expect(steps("blurb") > steps_before, "the trainer gets batches while a target leaves");
let one = generate("h1", "short list question");
advance(20000);
expect(answer(one).state == "done", "live engines that are missing from the list stay in use");
for number in 0..6 {
    crash("e3", 1500);
    advance(3000);
}
let two = generate("h1", "crash loop question");
advance(30000);
expect(answer(two).state == "done", "requests are answered although a target is in a crash loop");
expect(steps("blurb") >= steps_before + 3, "the trainer continues although a target is in a crash loop");
