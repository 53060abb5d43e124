// P8: guards against requests that are cut when a host drains with long streams, queued work and undelivered samples.
fleet("small", 81);
ready();
train("blurb");
advance(20000);
let host = owner("blurb");
let tickets = [];
for number in 0..40 {
    tickets.push(generate(host, "long answer " + number));
}
advance(1000);
drain(host);
advance(500);
let refused = generate(host, "too late");
advance(90000);
for ticket in tickets {
    expect(answer(ticket).state == "done", "a request in flight is answered completely, not " + answer(ticket).code + " " + answer(ticket).text);
}
expect(answer(refused).code == 209 || answer(refused).state == "broken", "new work is refused");
expect(has_exited(host), "the host exits once it is idle");
expect(steps("blurb") >= 4, "the trainer gets batches from another host");
