/*
 * Makes chosen system calls of one process fail, as Linux documents that they may. Preloaded into a pooler
 * by the lab; never part of the program. What fails, when and how often stands in a table that the lab maps
 * too (SystemFaults.java), so that a fault can begin and end while the process runs. Times are nanoseconds
 * of CLOCK_MONOTONIC, which all processes of a machine share.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netdb.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

/* In the order of SystemFaults.Call. */
enum call { ACCEPT, SOCKET, CONNECT, WAIT, RECEIVE, SEND, RESOLVE, FILES, LOG, WALL_CLOCK, CALLS };

/* An error of this value shortens a read or write to one byte in place of failing it. */
#define SHORT_TRANSFER -1

struct fault {
    int64_t error;
    int64_t from_ns;
    int64_t until_ns;
    int64_t left;     /* How often it still happens; negative for always. */
    int64_t span_ns;  /* RESOLVE and LOG: how long the call takes; WALL_CLOCK: by how much the clock is off. */
};

static struct fault *faults;
static char folder[4096];

#define REAL(name) \
    static __typeof__(name) *real; \
    if (!real) real = (__typeof__(name) *) dlsym(RTLD_NEXT, #name)

static int64_t monotonic_ns(void) {
    static int (*real)(clockid_t, struct timespec *);
    if (!real) real = (int (*)(clockid_t, struct timespec *)) dlsym(RTLD_NEXT, "clock_gettime");
    struct timespec t;
    real(CLOCK_MONOTONIC, &t);
    return t.tv_sec * 1000000000LL + t.tv_nsec;
}

__attribute__((constructor)) static void begin(void) {
    const char *path = getenv("FROSTREEL_LAB_FAULTS");
    const char *temporary = getenv("TMPDIR");
    if (temporary) strncpy(folder, temporary, sizeof folder - 1);
    int table = path ? open(path, O_RDWR | O_CLOEXEC) : -1;
    if (table < 0) return;
    void *mapped = mmap(0, CALLS * sizeof(struct fault), PROT_READ | PROT_WRITE, MAP_SHARED, table, 0);
    close(table);
    if (mapped != MAP_FAILED) faults = mapped;
}

/*
 * A signal interrupts one wait, and an aborted connection is one of those that wait; the calls after it go
 * well, and the JDK tries again until one does. So these strike every second call only.
 */
static int is_every_second(const struct fault *f) {
    return f->error == EINTR || f->error == ECONNABORTED;
}

/* The fault that strikes such a call now, and counts it; null for none. */
static struct fault *strikes(enum call call) {
    struct fault *f = faults ? &faults[call] : 0;
    if (!f || !f->until_ns || !f->left) return 0;
    int64_t now = monotonic_ns();
    if (now < f->from_ns || now >= f->until_ns) return 0;
    static uint32_t calls;
    if (is_every_second(f) && __atomic_fetch_add(&calls, 1, __ATOMIC_RELAXED) % 2) return 0;
    if (f->left > 0 && __atomic_fetch_sub(&f->left, 1, __ATOMIC_SEQ_CST) <= 0) return 0;
    return f;
}

static void take(int64_t span_ns) {
    struct timespec t = {span_ns / 1000000000LL, span_ns % 1000000000LL};
    while (nanosleep(&t, &t) && errno == EINTR) { }
}

static int fails(enum call call) {
    struct fault *f = strikes(call);
    if (f) errno = (int) f->error;
    return f != 0;
}

static int is_socket(int fd) {
    struct stat s;
    return !fstat(fd, &s) && S_ISSOCK(s.st_mode);
}

static int in_folder(int fd) {
    char link[64], path[4096];
    snprintf(link, sizeof link, "/proc/self/fd/%d", fd);
    ssize_t n = readlink(link, path, sizeof path - 1);
    return *folder && n > 0 && (path[n] = 0, !strncmp(path, folder, strlen(folder)));
}

/* How many bytes may go at once, or -1 where the call fails. */
static ssize_t allowed(enum call call, int fd, size_t n) {
    if (!faults || !faults[call].until_ns || !n || !is_socket(fd)) return n;
    struct fault *f = strikes(call);
    if (!f) return n;
    if (f->error == SHORT_TRANSFER) return 1;
    errno = (int) f->error;
    return -1;
}

/* Whether a write to a file of the folder fails; a write to the log takes its time. */
static int file_fails(int fd) {
    if (!faults) return 0;
    if ((fd == 1 || fd == 2) && faults[LOG].until_ns) {
        struct fault *f = strikes(LOG);
        if (f && f->error) { errno = (int) f->error; return 1; }
        if (f) take(f->span_ns);
        return 0;
    }
    return faults[FILES].until_ns && !is_socket(fd) && in_folder(fd) && fails(FILES);
}

int accept(int fd, struct sockaddr *address, socklen_t *length) {
    REAL(accept);
    return fails(ACCEPT) ? -1 : real(fd, address, length);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    REAL(accept4);
    return fails(ACCEPT) ? -1 : real(fd, address, length, flags);
}

int socket(int domain, int type, int protocol) {
    REAL(socket);
    return domain == AF_INET && fails(SOCKET) ? -1 : real(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    REAL(connect);
    return address->sa_family == AF_INET && fails(CONNECT) ? -1 : real(fd, address, length);
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout) {
    REAL(epoll_wait);
    return fails(WAIT) ? -1 : real(fd, events, most, timeout);
}

ssize_t read(int fd, void *to, size_t n) {
    REAL(read);
    ssize_t most = allowed(RECEIVE, fd, n);
    return most < 0 ? -1 : real(fd, to, most);
}

ssize_t recv(int fd, void *to, size_t n, int flags) {
    REAL(recv);
    ssize_t most = allowed(RECEIVE, fd, n);
    return most < 0 ? -1 : real(fd, to, most, flags);
}

ssize_t write(int fd, const void *from, size_t n) {
    REAL(write);
    if (file_fails(fd)) return -1;
    ssize_t most = allowed(SEND, fd, n);
    return most < 0 ? -1 : real(fd, from, most);
}

ssize_t pwrite64(int fd, const void *from, size_t n, off64_t at) {
    REAL(pwrite64);
    return file_fails(fd) ? -1 : real(fd, from, n, at);
}

ssize_t send(int fd, const void *from, size_t n, int flags) {
    REAL(send);
    ssize_t most = allowed(SEND, fd, n);
    return most < 0 ? -1 : real(fd, from, most, flags);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    REAL(writev);
    size_t n = 0;
    for (int i = 0; i < count; i++) n += parts[i].iov_len;
    ssize_t most = allowed(SEND, fd, n);
    if (most >= 0 && (size_t) most < n && count > 0) {
        struct iovec one = {parts[0].iov_base, parts[0].iov_len ? 1 : 0};
        return real(fd, &one, 1);
    }
    return most < 0 ? -1 : real(fd, parts, count);
}

int fsync(int fd) {
    REAL(fsync);
    return file_fails(fd) ? -1 : real(fd);
}

int fdatasync(int fd) {
    REAL(fdatasync);
    return file_fails(fd) ? -1 : real(fd);
}

int getaddrinfo(const char *host, const char *service, const struct addrinfo *hints, struct addrinfo **found) {
    REAL(getaddrinfo);
    struct fault *f = strikes(RESOLVE);
    if (!f) return real(host, service, hints, found);
    take(f->span_ns);
    return EAI_AGAIN;
}

int getnameinfo(const struct sockaddr *address, socklen_t length, char *host, socklen_t host_length,
        char *service, socklen_t service_length, int flags) {
    REAL(getnameinfo);
    struct fault *f = strikes(RESOLVE);
    if (!f) return real(address, length, host, host_length, service, service_length, flags);
    take(f->span_ns);
    return EAI_AGAIN;
}

static int64_t wall_clock_off_ns(void) {
    struct fault *f = faults && faults[WALL_CLOCK].until_ns ? strikes(WALL_CLOCK) : 0;
    return f ? f->span_ns : 0;
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    REAL(clock_gettime);
    int result = real(clock, time);
    int64_t off = clock == CLOCK_REALTIME ? wall_clock_off_ns() : 0;
    if (off) {
        int64_t ns = time->tv_sec * 1000000000LL + time->tv_nsec + off;
        time->tv_sec = ns / 1000000000LL;
        time->tv_nsec = ns % 1000000000LL;
    }
    return result;
}

int gettimeofday(struct timeval *restrict time, void *restrict zone) {
    REAL(gettimeofday);
    int result = real(time, zone);
    int64_t us = time->tv_sec * 1000000LL + time->tv_usec + wall_clock_off_ns() / 1000;
    time->tv_sec = us / 1000000;
    time->tv_usec = us % 1000000;
    return result;
}
