/* Steps the wall clock of a process and injects failures of system calls, controlled by a test at run time.

   Loaded with LD_PRELOAD. FAULTS_PLAN names a file with a `struct plan` in native byte order, which `shim.py`
   writes and this library maps: changes take effect immediately. Calls fail as documented for Linux; a failed
   call is not passed to the kernel. The monotonic clock, timers and waits are not modified. */

#define _GNU_SOURCE
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define NANOS 1000000000LL
#define RULES 16
#define DESCRIPTORS 65536
#define SHORT (-1)         /* a partial read or write */
#define MAX_SHORT_BYTES 16 /* upper limit of its length */

/* The numbers of both enums are those of `SystemCall` and `Peer` in shim.py. */
enum call { ACCEPT = 1, SOCKET, CONNECT, CONNECTED, RECV, SEND, WAIT, DUPLICATE };
enum peer { ANY, ACCEPTED, DIALLED };

struct rule {
    int32_t call;      /* 0: free slot */
    int32_t failure;   /* an errno, or SHORT */
    int32_t peer;
    uint32_t chance;   /* probability; 2^32 - 1 is always */
    int64_t from, to;  /* nanoseconds since the start of the process */
    int64_t remaining; /* number of failures still allowed */
    int64_t failures;  /* number of failures so far */
};

struct plan {
    int64_t clock_step; /* nanoseconds, added to each reading of the wall clock */
    uint64_t seed;
    struct rule rules[RULES];
};

static struct plan *plan;
static int64_t started_at;
static uint64_t random_state;
static uint8_t peers[DESCRIPTORS]; /* `enum peer` of the sockets */

static int64_t monotonic_ns(void)
{
    struct timespec now;
    syscall(SYS_clock_gettime, CLOCK_MONOTONIC, &now);
    return now.tv_sec * NANOS + now.tv_nsec;
}

__attribute__((constructor)) static void map_plan(void)
{
    const char *path = getenv("FAULTS_PLAN");
    if (path == NULL)
        return;
    int fd = open(path, O_RDWR | O_CLOEXEC);
    void *mapped = MAP_FAILED;
    if (fd >= 0 && lseek(fd, 0, SEEK_END) == (off_t)sizeof *plan)
        mapped = mmap(NULL, sizeof *plan, PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    if (mapped == MAP_FAILED) {
        fprintf(stderr, "fault shim: FAULTS_PLAN: %s is no plan of this version, or can't be mapped\n", path);
        _exit(2);
    }
    close(fd);
    started_at = monotonic_ns();
    plan = mapped;
}

static uint32_t next_random(void) /* splitmix64 */
{
    uint64_t z = plan->seed + __atomic_add_fetch(&random_state, 0x9e3779b97f4a7c15u, __ATOMIC_RELAXED);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
    return (uint32_t)((z ^ (z >> 31)) >> 32);
}

/* Returns an errno, which is also set, SHORT, or 0 if the call must not fail. */
static int find_failure(enum call call, int fd)
{
    if (plan == NULL)
        return 0;
    int peer = fd >= 0 && fd < DESCRIPTORS ? peers[fd] : ANY;
    int64_t age = monotonic_ns() - started_at;
    for (struct rule *rule = plan->rules; rule < plan->rules + RULES; rule++) {
        if (rule->call != (int32_t)call || (rule->peer != ANY && rule->peer != peer))
            continue;
        if (age < rule->from || age >= rule->to || next_random() > rule->chance)
            continue;
        if (__atomic_fetch_sub(&rule->remaining, 1, __ATOMIC_RELAXED) <= 0) {
            __atomic_fetch_add(&rule->remaining, 1, __ATOMIC_RELAXED);
            continue;
        }
        __atomic_fetch_add(&rule->failures, 1, __ATOMIC_RELAXED);
        if (rule->failure > 0)
            errno = rule->failure;
        return rule->failure;
    }
    return 0;
}

/* Returns whether the call must fail; errno is set then. */
static int must_fail(enum call call, int fd)
{
    return find_failure(call, fd) > 0;
}

static size_t partial_size(size_t size)
{
    return size < 2 ? size : 1 + next_random() % (size < MAX_SHORT_BYTES ? size : MAX_SHORT_BYTES);
}

static void set_peer(int fd, enum peer peer)
{
    if (fd >= 0 && fd < DESCRIPTORS)
        peers[fd] = peer;
}

/* --- sockets --- */

int socket(int family, int kind, int protocol)
{
    if (must_fail(SOCKET, -1))
        return -1;
    int fd = (int)syscall(SYS_socket, family, kind, protocol);
    set_peer(fd, ANY);
    return fd;
}

int accept4(int fd, struct sockaddr *restrict address, socklen_t *restrict length, int flags)
{
    if (must_fail(ACCEPT, fd))
        return -1;
    int accepted = (int)syscall(SYS_accept4, fd, address, length, flags);
    set_peer(accepted, ACCEPTED);
    return accepted;
}

int connect(int fd, const struct sockaddr *address, socklen_t length)
{
    if (must_fail(CONNECT, fd))
        return -1;
    set_peer(fd, DIALLED);
    return (int)syscall(SYS_connect, fd, address, length);
}

int getsockopt(int fd, int level, int option, void *restrict value, socklen_t *restrict length)
{
    int failed = level == SOL_SOCKET && option == SO_ERROR ? find_failure(CONNECTED, fd) : 0;
    if (failed <= 0)
        return (int)syscall(SYS_getsockopt, fd, level, option, value, length);
    *(int *)value = failed;
    return 0;
}

ssize_t recv(int fd, void *data, size_t size, int flags)
{
    int failed = find_failure(RECV, fd);
    if (failed > 0)
        return -1;
    size = failed == SHORT ? partial_size(size) : size;
    return syscall(SYS_recvfrom, fd, data, size, flags, NULL, NULL);
}

ssize_t send(int fd, const void *data, size_t size, int flags)
{
    int failed = find_failure(SEND, fd);
    if (failed > 0)
        return -1;
    size = failed == SHORT ? partial_size(size) : size;
    return syscall(SYS_sendto, fd, data, size, flags, NULL, 0);
}

int fcntl(int fd, int command, ...)
{
    va_list arguments;
    va_start(arguments, command);
    void *argument = va_arg(arguments, void *);
    va_end(arguments);
    if (command == F_DUPFD_CLOEXEC && must_fail(DUPLICATE, fd))
        return -1;
    return (int)syscall(SYS_fcntl, fd, command, argument);
}

int fcntl64(int fd, int command, ...) __attribute__((alias("fcntl")));

/* --- waits --- */

int epoll_wait(int fd, struct epoll_event *events, int max_events, int timeout)
{
    if (must_fail(WAIT, -1))
        return -1;
    return (int)syscall(SYS_epoll_pwait, fd, events, max_events, timeout, NULL, 8);
}

int poll(struct pollfd *descriptors, nfds_t count, int timeout)
{
    if (must_fail(WAIT, -1))
        return -1;
    struct timespec timeout_spec = {timeout / 1000, timeout % 1000 * 1000000L};
    return (int)syscall(SYS_ppoll, descriptors, count, timeout < 0 ? NULL : &timeout_spec, NULL, 8);
}

/* --- the wall clock --- */

int clock_gettime(clockid_t clock, struct timespec *now)
{
    int failed = (int)syscall(SYS_clock_gettime, clock, now);
    if (failed != 0 || plan == NULL || (clock != CLOCK_REALTIME && clock != CLOCK_REALTIME_COARSE))
        return failed;
    int64_t at = now->tv_sec * NANOS + now->tv_nsec + *(volatile int64_t *)&plan->clock_step;
    now->tv_sec = at / NANOS;
    now->tv_nsec = at % NANOS;
    return 0;
}

int gettimeofday(struct timeval *restrict now, void *restrict zone)
{
    (void)zone;
    struct timespec read;
    int failed = clock_gettime(CLOCK_REALTIME, &read);
    now->tv_sec = read.tv_sec;
    now->tv_usec = read.tv_nsec / 1000;
    return failed;
}

time_t time(time_t *now)
{
    struct timespec read;
    if (clock_gettime(CLOCK_REALTIME, &read) != 0)
        return -1;
    if (now != NULL)
        *now = read.tv_sec;
    return read.tv_sec;
}
