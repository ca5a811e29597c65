package frostreel.request;

/**
 * Attributes of a request that the router needs.
 *
 * @param id the id that the client chose
 * @param classIndex the index of its class in the settings
 * @param session the number of its session
 * @param group the number of its replica group
 * @param deadlineUs the time at which its response is due, on the pooler's clock
 * @param sinceWriteUs the age of its session's last write, or {@link frostreel.routing.Router#NO_WRITE}
 * @param repeated whether the client marked it as a retry
 */
public record RequestAttributes(
        String id, int classIndex, long session, int group, long deadlineUs, long sinceWriteUs, boolean repeated) {}
