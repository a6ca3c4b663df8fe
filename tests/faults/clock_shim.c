/* Steps the wall clock of one process, and leaves its monotonic clock alone.

   Loaded with LD_PRELOAD. FAULTS_CLOCK names a file of eight bytes: a signed number of nanoseconds, in the
   machine's byte order, that is added to each reading of the wall clock. Whoever writes the file steps the
   clock at once. Timers and waits are the kernel's and go on as they were, as after a real step. */

#define _GNU_SOURCE
#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define NANOS 1000000000LL

static volatile const int64_t *step;

__attribute__((constructor)) static void open_step(void)
{
    const char *path = getenv("FAULTS_CLOCK");
    if (path == NULL)
        return;
    int fd = open(path, O_RDONLY | O_CLOEXEC);
    void *mapped = fd < 0 ? MAP_FAILED : mmap(NULL, sizeof *step, PROT_READ, MAP_SHARED, fd, 0);
    if (mapped == MAP_FAILED) {
        fprintf(stderr, "clock shim: FAULTS_CLOCK: %s can't be mapped\n", path);
        _exit(2);
    }
    close(fd);
    step = mapped;
}

static int read_clock(clockid_t clock, struct timespec *now)
{
    int failed = (int)syscall(SYS_clock_gettime, clock, now);
    if (failed != 0 || step == NULL || (clock != CLOCK_REALTIME && clock != CLOCK_REALTIME_COARSE))
        return failed;
    int64_t at = now->tv_sec * NANOS + now->tv_nsec + *step;
    now->tv_sec = at / NANOS;
    now->tv_nsec = at % NANOS;
    return 0;
}

int clock_gettime(clockid_t clock, struct timespec *now)
{
    return read_clock(clock, now);
}

int gettimeofday(struct timeval *restrict now, void *restrict zone)
{
    (void)zone;
    struct timespec read;
    int failed = read_clock(CLOCK_REALTIME, &read);
    now->tv_sec = read.tv_sec;
    now->tv_usec = read.tv_nsec / 1000;
    return failed;
}

time_t time(time_t *now)
{
    struct timespec read;
    if (read_clock(CLOCK_REALTIME, &read) != 0)
        return -1;
    if (now != NULL)
        *now = read.tv_sec;
    return read.tv_sec;
}
