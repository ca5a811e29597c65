package frostreel.cluster;

/**
 * One incarnation of a pooler. It distinguishes the messages of a process that has ended from those of its
 * successor under the same name.
 *
 * @param name from the operators' file
 * @param incarnation higher at each start of the process
 */
public record Peer(String name, long incarnation) implements Comparable<Peer> {
    /** By name, then by incarnation. */
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
