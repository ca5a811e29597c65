package frostreel.lab.rules;

/** All poolers together never overload a server that is warming up. */
final class ColdServerRule extends Rule {
    ColdServerRule() {
        super("no cold server pushed over");
    }

    @Override
    public void serverOverloaded(long nowUs, String server) {
        recordViolation(nowUs, server + " fell over");
    }
}
