package frostreel.cluster;

/**
 * A pooler in one of its lives. The name comes from the operators' file; the life is a number of its own that
 * is higher at each start, so that what an ended life still says is told from what the present one does.
 */
public record Peer(String name, long incarnation) implements Comparable<Peer> {
    @Override
    public int compareTo(Peer other) {
        int byName = name.compareTo(other.name);
        return byName != 0 ? byName : Long.compare(incarnation, other.incarnation);
    }

    @Override
    public String toString() {
        return name + "/" + incarnation;
    }
}
