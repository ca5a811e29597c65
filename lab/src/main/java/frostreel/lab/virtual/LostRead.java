package frostreel.lab.virtual;

import frostreel.lab.rules.RunListener.Answer;

/**
 * A read of a session whose last commit, of those that its pooler answered, is gone with its primary.
 *
 * @param ledUs how long the group had a primary again when it was asked
 */
record LostRead(int session, long ledUs, Answer answer) {}
