package frostreel.lab.rules;

/** No cold server is pushed over, by all poolers together. */
final class ColdServerRule extends Rule {
    ColdServerRule() {
        super("no cold server pushed over");
    }

    @Override
    public void fell(long nowUs, String server) {
        convict(nowUs, server + " fell over");
    }
}
