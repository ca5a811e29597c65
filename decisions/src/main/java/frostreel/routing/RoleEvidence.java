package frostreel.routing;

/** Source of evidence for the role of a member; a response is better evidence than a report. */
enum RoleEvidence {
    /** The endpoint list, which may lag. */
    LIST,
    /** A load report of the member, which is as old as the position in it. */
    REPORT,
    /** What another process of the pooler has been told, current as of then; newer reports may replace it. */
    PEER,
    /** A response of the member, current as of its arrival. */
    RESPONSE
}
