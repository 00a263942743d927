#!/usr/bin/perl
# A backend server of a service that doesn't tell its load, as PROTOCOL.md has it
# under Workers and Service discovery. On TERM it leaves without reporting that it
# drains: it has its entry removed from the store, from then on answers health
# probes with 503 and says Connection: close, serves on for SERVE_S and ends.
#   server.pl STORE LISTEN ID SERVE_S LOG
use strict;
use warnings;
use IO::Select;
use IO::Socket::INET;
use Time::HiRes qw(time);

my ($store, $listen, $id, $serve_s, $log) = @ARGV;
my ($slots, $work_s) = (8, 0.02);
my ($sequence, $next_beat, $born, $term, $end) = (0, 0, int(time * 1000), 0, 0);
$SIG{TERM} = sub { $term = 1 };
$SIG{PIPE} = 'IGNORE';
open my $out, '>>', $log or die;
$out->autoflush(1);
my $server = IO::Socket::INET->new(LocalAddr => $listen, Listen => 64, ReuseAddr => 1) or die;
my $select = IO::Select->new($server);
my (%conns, @running, @waiting);

sub say_log { printf $out "%d %s\n", time * 1000, join ' ', @_ }

# msgpack: text, unsigned number, map.
sub text { my $s = shift; length $s < 32 ? chr(0xa0 | length $s) . $s : chr(0xd9) . chr(length $s) . $s }
sub number { my $n = shift; $n < 128 ? chr $n : chr(0xcf) . pack('Q>', $n) }
sub map_of { my $r = chr(0x80 | @_ / 2); while (my ($k, $v) = splice @_, 0, 2) { $r .= text($k) . $v } $r }

# Writes a value under this server's id; an empty one removes the entry.
sub write_entry {
	my $value = shift;
	my $record = pack('N', 1 + length($id) + length $value) . chr(length $id) . $id . $value;
	my $s = IO::Socket::INET->new(PeerAddr => $store, Timeout => 1) or return 'none';
	print $s "POST /stand/append?topic=keyed.servers&part=0 HTTP/1.1\r\nHost: store\r\nConnection: close\r\n" .
		'Content-Length: ' . length($record) . "\r\n\r\n$record";
	$s->flush;
	my $line = <$s> // '';
	return $line =~ / (\d+)/ ? $1 : 'none';
}

sub entry {
	return map_of(
		address => text($listen), born => number($born),
		info => map_of(service => text('harta'), zone => text('hala-cluj'),
			configVersion => text('v1'), slots => number($slots)),
		status => map_of(state => text('ready'), sequenceNumber => number(++$sequence),
			warmupLeftMs => number(0)));
}

sub answer {
	my ($c, $head, $body) = @_;
	$head .= "\r\nConnection: close" if $end;
	syswrite $c->{fh}, "HTTP/1.1 $head\r\nContent-Length: " . length($body) . "\r\n\r\n$body";
	$c->{busy} = 0;
	$c->{last} = 1 if $end;
}

sub start {
	my $job = shift;
	$job->{end} = time + $work_s;
	push @running, $job;
}

sub handle {
	my ($c, $target, %h) = @_;
	my $attempt = $h{'attempt-id'} // '';
	$c->{busy} = 1;
	if ($target eq '/health') {
		answer($c, ($end ? '503 Service Unavailable' : '200 OK') . "\r\nInstance-Id: $id", '');
	} elsif (($h{'target-instance'} // $id) ne $id) {
		answer($c, "421 Misdirected Request\r\nNot-Executed: 1\r\nAttempt-Id: $attempt", '');
	} elsif (@running < $slots || @waiting < $slots) {
		say_log('request', $attempt);
		my $job = {conn => $c, attempt => $attempt};
		@running < $slots ? start($job) : push @waiting, $job;
	} else {
		answer($c, "503 Service Unavailable\r\nNot-Executed: 1\r\nAttempt-Id: $attempt", '');
	}
}

# Handles a complete request, if there is one and none is being answered.
sub input {
	my $c = shift;
	while (!$c->{busy} && $c->{in} =~ /\r\n\r\n/) {
		my ($head, $rest) = split /\r\n\r\n/, $c->{in}, 2;
		my ($line, @lines) = split /\r\n/, $head;
		my %h = map { /^([^:]+):\s*(.*)$/ ? (lc $1, $2) : () } @lines;
		my $n = $h{'content-length'} // 0;
		return if length $rest < $n;
		$c->{in} = substr $rest, $n;
		handle($c, (split / /, $line)[1], %h);
	}
}

sub drop {
	my $c = shift;
	$select->remove($c->{fh});
	delete $conns{fileno $c->{fh}};
	close $c->{fh};
	delete $c->{fh};
	# A request whose connection closes is dropped.
	@waiting = grep { $_->{conn} != $c } @waiting;
	@running = grep { $_->{conn} != $c } @running;
}

until ($end && time >= $end) {
	if ($term && !$end) {
		my $status = write_entry('');
		$end = time + $serve_s;
		say_log('gone', $status);
	}
	if (!$end && time >= $next_beat) {
		write_entry(entry());
		$next_beat = time + 1.5;
	}
	my $wait = 0.01;
	for (@running) { my $left = $_->{end} - time; $wait = $left if $left < $wait }
	for my $fh ($select->can_read($wait > 0 ? $wait : 0)) {
		if ($fh == $server) {
			my $new = $server->accept or next;
			$new->blocking(0);
			$conns{fileno $new} = {fh => $new, in => '', busy => 0};
			$select->add($new);
			next;
		}
		my $c = $conns{fileno $fh} or next;
		my $n = sysread $fh, $c->{in}, 65536, length $c->{in};
		next if !defined $n && $!{EAGAIN};
		if (!$n) { drop($c); next }
		input($c);
		drop($c) if $c->{fh} && $c->{last};
	}
	my $now = time;
	my @done = grep { $_->{end} <= $now } @running;
	@running = grep { $_->{end} > $now } @running;
	for my $job (@done) {
		my $c = $job->{conn};
		answer($c, "200 OK\r\nAttempt-Id: $job->{attempt}\r\nResponse-Seal: seal.$job->{attempt}", "done by $id");
		if ($c->{last}) { drop($c) } else { input($c) }
	}
	start(shift @waiting) while @waiting && @running < $slots;
}
say_log('ended');
