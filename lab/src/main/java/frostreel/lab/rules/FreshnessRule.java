package frostreel.lab.rules;

/** No read is answered from data older than its class allows. */
final class FreshnessRule extends Rule {
    FreshnessRule() {
        super("no stale read");
    }

    @Override
    public void read(long nowUs, String id, long positionUs, long needUs) {
        if (positionUs < needUs) {
            convict(nowUs, id + " was served " + (needUs - positionUs) + " us too old");
        }
    }
}
