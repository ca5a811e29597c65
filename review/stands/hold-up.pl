# Holds a process up several times in a row: hold-up.pl ID TIMES HELD-MS SLICE-MS. Prints the longest hold in ms.
use strict;
use warnings;
use Time::HiRes qw(sleep time);

my ($id, $times, $held, $slice) = @ARGV;
my $longest = 0;
for my $i (1 .. $times) {
    sleep($slice / 1000) if $i > 1;
    my $from = time;
    kill 'STOP', $id or exit 1;
    sleep($held / 1000);
    kill 'CONT', $id;
    my $took = time - $from;
    $longest = $took if $took > $longest;
}
printf "%.1f\n", $longest * 1000;
