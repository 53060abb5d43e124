// P5: guards against a "not run" answer for a request that ran or may run later: a target crashes after it executed
// the request, no target is live until the deadline, a refused key is used again, and a queue is full.
fleet("small", 51);
ready();
let keys = [];
for number in 0..8 {
    let ticket = ask_key("h" + (number % 4 + 1));
    advance(100);
    keys.push(answer(ticket).text);
}
die_after_run("s1", true);
die_after_run("s2", true);
let one = book("h1", keys[0], "booking one");
let two = book("h2", keys[1], "booking two");
advance(3000);
expect(answer(one).kind == "OutcomeUnknown", "the outcome is unknown when a target died after it executed the call, not " + answer(one).kind);
die_after_run("s1", false);
die_after_run("s2", false);
advance(2000);
// The call is refused at once or at the latest by its deadline of 20 s.
let three = book("h3", keys[2], "booking three");
advance(25000);
expect(answer(three).kind == "NotRun", "without a live target the call is answered with NotRun, not " + answer(three));
revive("s1");
revive("s2");
advance(70000);
let late = book("h4", keys[2], "booking three");
advance(3000);
expect(answer(late).state == "error" && runs("booking three") == 0, "a refused key does not run after the targets are back");
let four = book("h4", keys[3], "booking four");
advance(3000);
expect(answer(four).state == "done", "an unused key runs");
let later = book("h4", keys[2], "booking three");
advance(3000);
expect(answer(later).state == "error" && runs("booking three") == 0, "a refused key does not run after another key has run");
service_takes(2000);
let tickets = [];
for number in 0..400 {
    tickets.push(generate("h1", "flood " + number, 4000));
}
advance(30000);
let refused = 0;
for ticket in tickets {
    if answer(ticket).state == "error" { refused += 1; }
}
expect(refused > 0, "requests beyond the queue limit are refused");
