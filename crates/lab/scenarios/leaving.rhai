// P7: a target says that it leaves, the list says so late, the list is suddenly short, a target crashes over and over.
fleet("small", 71);
ready();
callers(3.0, 2.0, 150000);
advance(5000);
leave("e1");
leave("s1");
advance(15000);
list_leaving("e1");
advance(10000);
unlist("e1");
advance(10000);
// The list is suddenly short; nobody left.
unlist("e2");
unlist("e3");
unlist("e4");
advance(6000);
let one = generate("h1", "short list question");
advance(20000);
expect(answer(one).state == "done", "a short list does not take live engines out of use");
for number in 0..6 {
    crash("e3", 1500);
    advance(3000);
}
let two = generate("h1", "crash loop question");
advance(30000);
expect(answer(two).state == "done", "a target in a crash loop does not stop the service");
