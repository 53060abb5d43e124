// Guards against a request that crashes target after target when its caller repeats it through other hosts, each time
// as a new request. A host that could have learned of three crashes by the request must not dispatch it again.
fleet("small", 101);
ready();
poison("poisonous");
callers(4.0, 0.0, 120000);
let tickets = [];
for round in 0..6 {
    tickets.push(generate("h" + (round % 4 + 1), "a poisonous prompt"));
    advance(20000);
}
always(poison_crashes() <= 6, "the request crashes at most 3 targets in each of 2 zones, not " + poison_crashes());
let last = answer(tickets[5]);
expect(last.code == 208, "the last repetition is refused, not " + last.code);
let harmless = generate("h1", "an innocent prompt");
advance(30000);
expect(answer(harmless).state == "done", "a harmless request is answered, not " + answer(harmless).code);
