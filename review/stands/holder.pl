# Holds the clients' listening socket, as the platform does during an upgrade. Prints the port; then each line of
# input, "log<TAB>command<TAB>NAME=value...", starts the command with the socket as descriptor 0, and its id is printed.
# Ends what it has started once its own input ends.
use strict;
use warnings;
use IO::Socket::INET;
use POSIX ();

my $socket = IO::Socket::INET->new(LocalAddr => '127.0.0.1', LocalPort => 0, Proto => 'tcp', Listen => 1024)
    or die "cannot listen: $!";
$| = 1;
$SIG{CHLD} = 'IGNORE';
print $socket->sockport, "\n";
my @started;
while (my $line = <STDIN>) {
    chomp $line;
    my ($log, $command, @variables) = split /\t/, $line;
    my $id = fork;
    die "cannot fork: $!" unless defined $id;
    if ($id == 0) {
        $SIG{CHLD} = 'DEFAULT';
        open(STDOUT, '>>', $log) or die;
        open(STDERR, '>&', \*STDOUT) or die;
        POSIX::dup2(fileno($socket), 0) or die;
        for (@variables) {
            my ($name, $value) = split /=/, $_, 2;
            $ENV{$name} = $value;
        }
        exec '/bin/sh', '-c', $command;
    }
    push @started, $id;
    print "$id\n";
}
kill 'KILL', @started;
