// P9: guards against lost or duplicate applies: two operators apply at once, the store's answer is lost, and the store
// stops just after an apply was accepted.
fleet("small", 91);
ready();
let base = revision("h1");
expect(base == 1, "the first file is revision 1");
let one = apply("h1", "race-a", base, "queue_requests", 100);
let two = apply("h2", "race-b", base, "queue_requests", 200);
advance(7000);
let accepted = 0;
for ticket in [one, two] {
    if answer(ticket).state == "done" { accepted += 1; }
}
expect_store(accepted == 1, "exactly one of two concurrent applies is accepted");
expect_store(lowest_revision() == base + 1, "all hosts have the accepted revision in force within 7 s");
expect_store(answer(one).code == 103 || answer(two).code == 103, "the other apply gets a conflict");
store("lose_answers");
let three = apply("h3", "lost", base + 1, "queue_requests", 300);
advance(9000);
store("up");
advance(12000);
let again = apply("h4", "lost", base + 1, "queue_requests", 300);
advance(9000);
expect_store(answer(again).state == "done", "a repeated apply id is answered from the store, not written again: " + answer(again).text);
expect_store(lowest_revision() == revision("h1") && revision("h1") >= base + 1, "all hosts have the same revision in force");
let now = revision("h1");
let four = apply("h1", "before-the-outage", now, "queue_requests", 400);
advance(60);
store("refuse");
advance(20000);
always(lowest_in_force() >= now, "no host returns to an older revision");
