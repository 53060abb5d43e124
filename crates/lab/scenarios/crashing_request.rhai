// A request that crashes each target that runs it, sent again by its caller through other hosts and under a new key.
// While it runs, each host that could hear of three crashes is checked not to send the request to another target.
fleet("small", 101);
ready();
poison("poisonous");
callers(4.0, 0.0, 120000);
let tickets = [];
for round in 0..6 {
    tickets.push(generate("h" + (round % 4 + 1), "a poisonous prompt"));
    advance(20000);
}
always(poison_crashes() <= 6, "it takes down at most 3 targets in each of 2 zones, not " + poison_crashes());
let last = answer(tickets[5]);
expect(last.code == 208, "in the end it is refused, not " + last.code);
let innocent = generate("h1", "an innocent prompt");
advance(30000);
expect(answer(innocent).state == "done", "an innocent request is answered, not " + answer(innocent).code);
