package frostreel.lab.rules;

/** No server that is warming up is sent more than it can take, by all poolers together. */
final class ColdServerRule extends Rule {
    ColdServerRule() {
        super("no cold server pushed over");
    }

    @Override
    public void serverOverloaded(long nowUs, String server) {
        recordViolation(nowUs, server + " fell over");
    }
}
