package frostreel.request;

/**
 * What the router needs to know of a request.
 *
 * @param id the id that its sender gave it
 * @param classIndex the index of its class in the settings
 * @param session the number of its session
 * @param group the number of the replica group that it is for
 * @param deadlineUs when its response is due
 * @param sinceWriteUs the commit position that a read must reflect at least, 0 for any
 * @param repeated whether it is a retry by its sender
 */
public record RequestAttributes(
        String id, int classIndex, long session, int group, long deadlineUs, long sinceWriteUs, boolean repeated) {}
