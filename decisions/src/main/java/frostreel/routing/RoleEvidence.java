package frostreel.routing;

/** Where the role of a member is known from; an answer is better evidence than a report. */
enum RoleEvidence {
    /** The endpoint list, which may lag. */
    LIST,
    /** A report of the member, which is as old as the position in it. */
    REPORT,
    /** An answer of the member, current as of its arrival. */
    RESPONSE
}
