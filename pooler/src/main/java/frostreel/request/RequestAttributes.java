package frostreel.request;

/**
 * What the decisions need to know of a request.
 *
 * @param id the name that its sender gave it
 * @param classIndex the number of its class in the settings
 * @param session the number of its session
 * @param group the number of the replica group that it is for
 * @param deadlineUs by when it has to be answered
 * @param sinceWriteUs the position that a read has to see, 0 for any
 * @param repeated whether its sender has sent it before
 */
public record RequestAttributes(
        String id, int classIndex, long session, int group, long deadlineUs, long sinceWriteUs, boolean repeated) {}
