// Guards against a trainer that gets no batches during and after an outage in which the key-value store hangs for
// 100 s, under load by callers with generations and bookings, and against callers who get no answers meanwhile.
fleet("small", 121);
ready();
train("blurb");
callers(2.0, 1.0, 200000);
advance(30000);
store("hang");
let tickets = [];
for round in 0..4 {
    let keys = [];
    for number in 1..5 {
        keys.push(ask_key("h" + number));
    }
    advance(1000);
    for number in 1..5 {
        tickets.push(generate("h" + number, "question " + number + " in round " + round));
        tickets.push(book("h" + number, answer(keys[number - 1]).text, "booking " + number + " in round " + round));
    }
    advance(24000);
}
for ticket in tickets {
    expect(answer(ticket).state == "done", "a call in the outage is answered completely, not " + answer(ticket).state + " " + answer(ticket).code);
}
let steps_before = steps("blurb");
expect(steps_before >= 6, "the trainer gets batches during the outage");
store("up");
advance(60000);
expect(steps("blurb") >= steps_before + 2, "the trainer gets batches after the outage");
