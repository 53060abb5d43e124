// P4: guards against incomplete answers when an engine crashes in mid-stream, another one ends streams early, and a
// caller disconnects and repeats its request.
fleet("small", 41);
ready();
truncate("e1", 10);
let tickets = [];
for number in 0..12 {
    tickets.push(generate("h" + (number % 4 + 1), "topic question " + number));
}
advance(1500);
crash("e2", 6000);
hang_up(tickets[0]);
let again = generate("h1", "topic question 0");
advance(50000);
for number in 1..12 {
    expect(answer(tickets[number]).state == "done", "request " + number + " is answered completely, not " + answer(tickets[number]).code);
}
expect(answer(again).state == "done", "the repeated request of the disconnected caller is answered completely");
