package frostreel.lab.virtual;

import frostreel.lab.rules.RunListener.Answer;

/**
 * A read of a session whose last commit, of those that its pooler acknowledged, was lost with its primary.
 *
 * @param primaryAgeUs for how long the group had had a new primary when the read was sent, in microseconds; 0
 *     where it had none
 */
record LostRead(int session, long primaryAgeUs, Answer answer) {}
