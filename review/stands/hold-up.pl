# Holds a process up several times in a row: hold-up.pl ID TIMES HELD-MS SLICE-MS. Prints the longest hold in ms, as
# ticks of the system's clock show it (10 ms each). Needs nothing but Perl's base.
use strict;
use warnings;
use POSIX ();

my ($id, $times, $held, $slice) = @ARGV;
my $tick_ms = 1000 / POSIX::sysconf(POSIX::_SC_CLK_TCK());
my $longest = 0;
for my $i (1 .. $times) {
    select(undef, undef, undef, $slice / 1000) if $i > 1;
    my $from = (POSIX::times())[0];
    kill 'STOP', $id or exit 1;
    select(undef, undef, undef, $held / 1000);
    kill 'CONT', $id;
    my $took = ((POSIX::times())[0] - $from) * $tick_ms;
    $longest = $took if $took > $longest;
}
printf "%.1f\n", $longest;
